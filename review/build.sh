#!/bin/sh
# The stand-ins are plain Python files that use only the standard library: nothing is built.
exit 0
