"""Who belongs to the fleet, and which member does which job."""
