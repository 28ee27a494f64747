"""The object API of the platform: client, journals and claims."""
