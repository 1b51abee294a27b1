"""What the processes share: settings, logs, HTTP, links, the platform."""
