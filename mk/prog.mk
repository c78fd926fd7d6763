# A program: PROG is its name, SRCS its files, BINDIR where it goes.
include $(ROOT)/mk/common.mk
BINDIR ?= bin
OBJDIR = $(O)/obj/$(BINDIR)/$(PROG)
OBJS = $(SRCS:%.c=$(OBJDIR)/%.o)

all: $(O)/$(BINDIR)/$(PROG)

$(O)/$(BINDIR)/$(PROG): $(OBJS) $(LIBFILES)
	@mkdir -p $(@D)
	$(Q)$(CC) $(LDFLAGS) -o $@ $(OBJS) $(LDLIBS) $(EXTRA_LIBS)

$(OBJDIR)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -c -o $@ $<

-include $(OBJS:.o=.d)
.PHONY: all
