"""Whether the process of an endpoint still serves its address."""
