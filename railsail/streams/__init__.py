"""Where event streams began, so that they are continued there."""
