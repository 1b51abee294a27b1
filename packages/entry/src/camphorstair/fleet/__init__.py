"""The entry of a fleet whose state lies in the platform's store."""
