"""The members of the fleet, and which of them does which job."""
