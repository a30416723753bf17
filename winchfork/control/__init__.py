"""The operators' RPC service; the schema is proto/winchfork.proto."""
