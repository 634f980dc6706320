# Lets checkouts in different folders share what ccache holds. Sourced from the
# root of a checkout by what builds it.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
