"""Pure decisions about who is served next and where; no input or output."""
