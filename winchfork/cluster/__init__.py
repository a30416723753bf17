"""Coordination between daemons: peer messages, membership, shared documents, claims."""
