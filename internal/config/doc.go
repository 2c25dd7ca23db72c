// Package config reads and checks a controller's configuration: the platform's settings file (TOML),
// which includes the limits of the key-value store, and the operators' properties file (Java-style
// properties). Its errors name the invalid field or key. Package tuning holds the constants that are
// not configurable and the defaults of the properties.
package config
