"""Routes: requests that are passed on to replicas as callers sent them."""
