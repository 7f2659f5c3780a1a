"""Director daemon: places models, orders loads and maintains the memory ledger."""
