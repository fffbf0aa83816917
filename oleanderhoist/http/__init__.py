"""HTTP/1.1 server and client over h11."""
