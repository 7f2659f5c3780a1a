"""The director: places models, orders loads and keeps the memory ledger."""
