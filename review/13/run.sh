#!/usr/bin/env bash
exec bash "$(dirname "$0")/../standins-3/run-case.sh" 13
