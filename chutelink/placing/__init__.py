"""Model placement: the placer's lease, placement planning and endpoint orders."""
