"""Parts that the scripts of the second review share: stand-ins, daemons as processes, callers and the record."""
