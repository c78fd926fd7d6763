# Shared by every makefile.  ROOT is the top of the tree, relative to the
# directory of the including makefile.
CC = gcc
BUILD ?= build
O = $(ROOT)/$(BUILD)
PKGS = libevent libevent_core libevent_extra jansson argtable2 log4c \
	libtirpc libxxhash nettle
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PKG_LIBS := $(shell pkg-config --libs $(PKGS))
VERSION := 0.1.0
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Wformat=2 -Wno-format-nonliteral
OPT ?= -O2 -g
CFLAGS = -std=gnu11 -D_GNU_SOURCE $(OPT) $(WARN) -MMD -MP -D_FORTIFY_SOURCE=2 \
	-DTG_VERSION='"$(VERSION)"' -I$(ROOT)/lib -I$(ROOT) -I$(O)/gen $(PKG_CFLAGS) \
	$(SAN) $(EXTRA_CFLAGS)
LDFLAGS = $(SAN)
LIBS = member doc plat site platform port flow oncrpc http decide base
LIBFILES = $(foreach l,$(LIBS),$(O)/lib/libtg$(l).a)
LDLIBS = $(LIBFILES) $(PKG_LIBS) -lm
