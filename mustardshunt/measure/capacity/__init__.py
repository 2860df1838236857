"""Estimates traffic, processor time and memory at the design size."""
