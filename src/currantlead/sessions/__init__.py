"""Long-lived caller sessions: values, prepared statements and transactions over one connection each."""
