"""How daemons act together: peer messages, membership, configuration relay, claims."""
