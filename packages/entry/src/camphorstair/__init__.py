"""Entry node and command line for operators."""
