"""Decisions: plain data and a clock reading in, a decision out; nothing here waits, sends or logs."""
