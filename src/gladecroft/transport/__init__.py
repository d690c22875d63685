"""HTTP/1.1 over TCP. Knows nothing of jobs or machines."""
