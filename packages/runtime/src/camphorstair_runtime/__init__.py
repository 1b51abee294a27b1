"""Runtime code shared by all processes: settings, logs, HTTP and links."""
