"""Command that runs the fake backend server."""

from mustardshunt.standin._backend_server import main

if __name__ == '__main__':
    main()
