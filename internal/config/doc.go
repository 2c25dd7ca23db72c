// Package config owns what a controller is told from outside: the platform's
// settings file (TOML), with the limits of the key-value store, and the operators'
// own properties file (Java-style properties). It reads and checks both, and names
// the field or key at fault. Constants that nobody may set stand in package tuning,
// which has the defaults of the properties, too.
package config
