"""The callers' HTTP interface: OpenAI-compatible completions and the application relay."""
