"""Command that runs the stand-in of the platform."""

from mustardshunt.standin._platform import main

if __name__ == '__main__':
    main()
