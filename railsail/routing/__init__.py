"""Routes: requests that are forwarded to replicas as callers sent them."""
