# tarragonfield: "make" builds, "make check" tests, "make demo" shows it run.
ROOT = .
BUILD ?= build
Q ?= @
export Q BUILD
# Exporting an empty OPT would hide the default in mk/common.mk.
ifdef OPT
export OPT
endif
ifdef SAN
export SAN
endif
LIBDIRS = $(dir $(wildcard lib/*/Makefile platform/Makefile))
PROGDIRS = $(dir $(wildcard cmd/*/Makefile tests/standin/*/Makefile \
	tests/load/Makefile tests/unit/*/Makefile tests/bench/*/Makefile \
	tests/fault/*/Makefile))

CMDDIRS = $(dir $(wildcard cmd/*/Makefile))

all: $(LIBDIRS) $(PROGDIRS)

# What a deployment needs: no tests.
programs: $(CMDDIRS)

$(LIBDIRS):
	@$(MAKE) --no-print-directory -C $@

$(PROGDIRS): $(LIBDIRS)
	@$(MAKE) --no-print-directory -C $@

deps:
	@sh mk/deps.sh

check: deps
	@$(MAKE) --no-print-directory all
	@sh tests/run.sh

demo demo-up demo-down: deps
	@$(MAKE) --no-print-directory all
	@sh tests/demo/$@.sh

bench bench-decisions bench-capacity: deps
	@$(MAKE) --no-print-directory all
	@sh tests/bench/$@.sh

# Seeds of the fault soak, from SEED on.
SEED ?= 1
SEEDS ?= 50
soak: deps
	@$(MAKE) --no-print-directory all
	@sh tests/soak/seeds.sh $(SEED) $$(($(SEED) + $(SEEDS) - 1))

model:
	@sh spec/run.sh

format:
	@git ls-files -co --exclude-standard '*.c' '*.h' | \
		grep -v '^lib/oncrpc/tgrpc' | xargs clang-format -i

format-check:
	@git ls-files -co --exclude-standard '*.c' '*.h' | \
		grep -v '^lib/oncrpc/tgrpc' | xargs clang-format --dry-run -Werror

lint:
	@sh mk/lint.sh

clean:
	rm -rf $(BUILD)

.PHONY: all programs deps check demo demo-up demo-down bench bench-decisions \
	bench-capacity soak model format format-check lint clean \
	$(LIBDIRS) $(PROGDIRS)
