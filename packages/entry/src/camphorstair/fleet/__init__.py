"""Entry process of a fleet that keeps its state in the platform's store."""
