"""Small stand-ins for the users' platform on loopback; they speak its published protocol."""
