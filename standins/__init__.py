"""Stand-ins for the platform's store, replicas and operators, on loopback and with its protocol."""
