"""The interface for callers: OpenAI-compatible completions and the application relay."""
