"""Long-lived caller sessions: session values, prepared statements and transactions over one connection per caller."""
