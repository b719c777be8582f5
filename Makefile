# Build of wagtailshift. `make demo` runs the system once, `make check` the
# tests; both install the Debian packages they need first.

BUILD ?= build
CC = gcc
CSTD = -std=gnu11
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes
OPT ?= -O2 -g
SAN ?=
MUTANT ?=

PKGS = libmicrohttpd libcurl glib-2.0 libtirpc libsodium libxxhash jansson inih
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
CHECK_LIBS := $(shell pkg-config --libs check 2>/dev/null)

CFLAGS = $(CSTD) $(WARN) $(OPT) $(SAN) $(MUTANT) -I. -Ilib $(PKG_CFLAGS) -MMD -MP
LDLIBS = $(PKG_LIBS) -lev -lhttp_parser -lm
# rpcgen's output is not written to our warning level.
GEN_CFLAGS = $(CSTD) -O2 -g $(SAN) -Ilib -Ilib/wire $(PKG_CFLAGS) -MMD -MP -w

GEN_SRCS = $(wildcard lib/wire/*_xdr.c)
LIB_SRCS = $(filter-out $(GEN_SRCS),$(wildcard lib/*/*.c)) \
	$(wildcard platform/*.c)
PROGRAM_SRCS = $(wildcard programs/*.c)
PROGRAM_PARTS = $(wildcard programs/*/*.c)
TEST_SRCS = $(wildcard tests/test_*.c)
TEST_PARTS = $(filter-out $(TEST_SRCS),$(wildcard tests/*.c))
SOAK_SRCS = $(wildcard tests/soak/*.c)

LIB_OBJS = $(patsubst %.c,$(BUILD)/%.o,$(LIB_SRCS) $(GEN_SRCS))
PART_OBJS = $(patsubst %.c,$(BUILD)/%.o,$(TEST_PARTS))
PROGRAMS = $(patsubst programs/%.c,$(BUILD)/%,$(PROGRAM_SRCS))
TESTS = $(patsubst tests/%.c,$(BUILD)/%,$(TEST_SRCS))

OUR_SRCS = $(wildcard lib/*.h lib/*/*.h platform/*.h) $(LIB_SRCS) $(PROGRAM_SRCS) \
	$(PROGRAM_PARTS) $(wildcard programs/*/*.h) $(wildcard tests/*.[ch]) \
	$(wildcard tests/soak/*.[ch])
FORMAT_SRCS = $(filter-out lib/wire/ws_peer_xdr.h,$(OUR_SRCS))

JOBS ?= 2

.PHONY: all build deps check check-asan prove mutants capacity demo soak format format-check lint clean

all: deps
	$(MAKE) build

build: $(PROGRAMS) $(TESTS) $(BUILD)/soak

deps:
	@sh scripts/install-packages.sh

$(BUILD)/libwagtailshift.a: $(LIB_OBJS)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/lib/wire/%_xdr.o: lib/wire/%_xdr.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(GEN_CFLAGS) -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $<"
	@$(CC) $(CFLAGS) -c -o $@ $<

# A program may have further parts in a folder of its own name.
.SECONDEXPANSION:
EDGE = $(BUILD)/wagtailshift-edge
$(EDGE): LDLIBS = $(shell pkg-config --libs libcurl glib-2.0 libtirpc jansson \
	2>/dev/null) -lev -lhttp_parser -lm -rdynamic

$(PROGRAMS): $(BUILD)/%: $(BUILD)/programs/%.o \
		$$(addprefix $(BUILD)/,$$(addsuffix .o,$$(basename \
		$$(wildcard programs/$$*/*.c)))) \
		$(BUILD)/libwagtailshift.a
	@echo "LD $@"
	@$(CC) $(SAN) -o $@ $^ $(LDLIBS)

$(TESTS): $(BUILD)/%: $(BUILD)/tests/%.o $(PART_OBJS) $(BUILD)/libwagtailshift.a
	@echo "LD $@"
	@$(CC) $(SAN) -o $@ $^ $(CHECK_LIBS) $(LDLIBS)

$(BUILD)/soak: $(patsubst %.c,$(BUILD)/%.o,$(SOAK_SRCS)) \
		$(BUILD)/libwagtailshift.a
	@echo "LD $@"
	@$(CC) $(SAN) -o $@ $^ $(LDLIBS)

# Real processes under faults: make soak SEEDS=1..50 JOBS=4
soak: deps
	$(MAKE) $(BUILD)/soak $(BUILD)/wagtailshift-edge
	sh scripts/soak.sh $(BUILD) $(SEEDS) $(JOBS)

check: deps
	$(MAKE) build
	@sh scripts/run-tests.sh $(BUILD)

check-asan: deps
	$(MAKE) BUILD=build-asan OPT="-O1 -g" \
		SAN="-fsanitize=address,undefined -fno-sanitize-recover=all" build
	@sh scripts/run-tests.sh build-asan

# Long randomised runs of the whole core: make prove SEEDS=1..1000
SEEDS ?= 1..100
prove: deps
	$(MAKE) build
	WS_SEEDS=$(SEEDS) $(BUILD)/test_core_random

# Build-time mutations that the tests must catch.
mutants: deps
	@sh scripts/mutants.sh

# Measures slopes and rewrites the tables of docs/CAPACITY.md.
capacity: deps
	$(MAKE) build
	sh scripts/capacity.sh $(BUILD)

demo: deps
	$(MAKE) build
	@sh scripts/demo.sh $(BUILD)

format:
	@clang-format -i $(FORMAT_SRCS)

format-check:
	@clang-format --dry-run --Werror $(FORMAT_SRCS)

lint:
	@sh scripts/lint.sh $(LIB_SRCS) $(PROGRAM_SRCS) $(PROGRAM_PARTS) \
		$(TEST_SRCS) $(TEST_PARTS) $(SOAK_SRCS)

clean:
	rm -rf build build-*

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
