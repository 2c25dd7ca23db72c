// Package config reads and checks the platform's settings file (TOML) and the
// operators' own settings (Java-style properties).
package config
