"""What follows if an endpoint sends nothing while data is awaited."""
