# A library: LIB is its name, SRCS its files, GENERATED those made by rpcgen.
include $(ROOT)/mk/common.mk
OBJDIR = $(O)/obj/lib/$(LIB)
OBJS = $(SRCS:%.c=$(OBJDIR)/%.o)

all: $(O)/lib/libtg$(LIB).a

$(O)/lib/libtg$(LIB).a: $(OBJS)
	@mkdir -p $(@D)
	@rm -f $@
	$(Q)ar rcs $@ $(OBJS)

$(OBJDIR)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -c -o $@ $<

# rpcgen's output has an unused variable.
$(GENERATED:%.c=$(OBJDIR)/%.o): EXTRA_CFLAGS = -Wno-unused-variable

-include $(OBJS:.o=.d)
.PHONY: all
