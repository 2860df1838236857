"""Simulates overload in virtual time with the project's own decisions."""
