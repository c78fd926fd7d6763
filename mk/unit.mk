# A unit test: PROG is its name, SRCS its files; built with check.
BINDIR = tests
EXTRA_LIBS = $(shell pkg-config --libs check)
include $(ROOT)/mk/prog.mk
CFLAGS += $(shell pkg-config --cflags check)
