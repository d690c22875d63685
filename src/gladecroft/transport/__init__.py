"""HTTP/1.1 client and server over TCP, independent of jobs and machines."""
