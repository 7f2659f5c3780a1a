"""The director, which places models, orders loads and maintains the ledger."""
