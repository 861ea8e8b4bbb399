# Build of jacinthdyke.  Targets:
#   all      programs (default)
#   tests    programs and test programs
#   setup    install missing Debian packages
#   demo     start a local fleet, submit a patch and send a request
#   check    build and run all tests
#   lint     check the format, and run cppcheck and clang-tidy
#   matrix   inject each fault at each step of a patch and of a keyed request
#   soak     run real processes under random faults; arguments in SOAK
#   mutants  check that each mutant of the code makes a test fail
#   fuzz     fuzz the decoders of external input
#   bench    run the benchmarks and write docs/MEASUREMENTS.md
#   install  install below $(DESTDIR)$(PREFIX)
#   clean    delete $(BUILD)

PREFIX ?= /usr/local
DESTDIR ?=
CC ?= cc
BUILD ?= build
SAN ?=

PKGS = glib-2.0 jansson libprotobuf-c libzstd
OPT ?= -O2 -g
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
       -Wmissing-prototypes -Wno-unused-parameter
CPPFLAGS += -D_GNU_SOURCE -DG_LOG_DOMAIN='"jacinthdyke"' -DH2O_USE_LIBUV=0 \
            -Iinclude -Ipeer -Ilib -Ilib/tree $(shell pkg-config --cflags $(PKGS))
TIDY_FLAGS = -std=gnu11 -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -Iinclude -Ipeer \
             -Ilib -Ilib/tree $(shell pkg-config --cflags $(PKGS))
CFLAGS += -std=gnu11 $(OPT) $(WARN) $(SAN)
LDLIBS += -lh2o-evloop -lhttp_parser -lssl -lcrypto -lm $(shell pkg-config --libs $(PKGS))

LIB_SRC = $(wildcard lib/*.c lib/*/*.c) peer/frame.pb-c.c
BASE_SRC = $(wildcard base/*.c)
NODE_SRC = $(wildcard node/*.c caller/*.c platform/*.c) log/follow.c log/log.c \
           peer/conn.c peer/link.c peer/forward.c peer/lost.c peer/retry.c \
           peer/request_conn.c peer/response.c peer/bulk.c peer/partial.c \
           peer/capacity.c peer/pick.c peer/answer.c peer/frame_body.c \
           peer/request.c \
           targets/worker.c targets/health.c targets/departure.c targets/claims.c \
           targets/crash.c targets/suspect.c targets/headers.c targets/notice.c targets/response.c \
           targets/estimate.c targets/room.c operator/admin.c operator/admin_accounts.c \
           operator/placing.c
CTL_SRC = operator/ctl.c operator/logview.c operator/submit.c \
          operator/view.c operator/fleet.c operator/accounts.c operator/explain.c log/log.c
LOAD_SRC = $(wildcard load/*.c) operator/logview.c log/log.c
PROGRAMS = jacinthd jacinthctl jd-logd jd-targetd jd-faultd jd-load

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
LIB = $(BUILD)/libjacinthdyke.a
BASE = $(BUILD)/libjdbase.a

all: $(addprefix $(BUILD)/,$(PROGRAMS))

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

# An archive is made anew, as ar would keep the objects of sources that were
# renamed or removed.
$(LIB): $(call obj,$(LIB_SRC)) Makefile
	@rm -f $@
	@$(AR) rcs $@ $(filter %.o,$^)
$(BASE): $(call obj,$(BASE_SRC)) Makefile
	@rm -f $@
	@$(AR) rcs $@ $(filter %.o,$^)
$(BUILD)/jacinthd: $(call obj,$(NODE_SRC)) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/jacinthctl: $(call obj,$(CTL_SRC)) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/jd-logd: $(call obj,log/logd.c) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/jd-faultd: $(call obj,fault/faultd.c) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/jd-load: $(call obj,$(LOAD_SRC)) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/jd-targetd: $(call obj,targets/targetd.c) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

setup:
	@sh ./setup.sh

demo: setup
	@$(MAKE) --no-print-directory -s all
	@bash load/demo.sh

UNIT_SRC = $(wildcard regress/unit/*.c) load/histogram.c node/settings.c \
           platform/document.c platform/heartbeat.c platform/bounds.c \
           peer/frame_body.c
$(BUILD)/unit: $(call obj,$(UNIT_SRC)) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS) -lcunit

tests: all $(BUILD)/unit $(BUILD)/script $(BUILD)/sim $(BUILD)/jd-stored \
       $(BUILD)/jd-workerd $(BUILD)/jd-observe $(BUILD)/jd-crowd

TEST_PROGRAM_SRC = regress/stand/stored.c regress/stand/workerd.c \
                   regress/stand/crowd.c regress/soak/observe.c
$(BUILD)/jd-crowd: $(call obj,regress/stand/crowd.c) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/jd-observe: $(call obj,regress/soak/observe.c) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/jd-stored: $(call obj,regress/stand/stored.c) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)
$(BUILD)/jd-workerd: $(call obj,regress/stand/workerd.c) $(BASE) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

check: setup
	@$(MAKE) --no-print-directory -s tests
	@bash regress/run.sh

SCRIPT_SRC = regress/script.c regress/script_store.c \
             regress/script_request.c regress/script_claim.c \
             regress/script_reader.c
$(BUILD)/script: $(call obj,$(SCRIPT_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

SIM_SRC = regress/sim/sim.c regress/sim/cold.c regress/sim/net.c \
          regress/sim/fakelog.c
$(BUILD)/sim: $(call obj,$(SIM_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

LINT_SRC = $(filter-out %.pb-c.c,$(sort $(ALL_SRC))) examples/embed.c
LINT_HEADERS = $(filter-out %.pb-c.h,$(wildcard */*.h regress/*/*.h))

lint:
	clang-format --dry-run --Werror $(LINT_SRC) $(LINT_HEADERS)
	cppcheck -q --std=c11 --enable=warning,portability --inline-suppr \
	    --error-exitcode=1 --suppress=missingInclude -Iinclude -Ipeer \
	    -Ilib -Ilib/tree -j4 $(LINT_SRC)
	@for f in $(LINT_SRC); do echo $$f; done | xargs -P8 -n6 sh -c \
	    'clang-tidy --quiet "$$@" -- $(TIDY_FLAGS) >$(BUILD)/tidy.$$$$ 2>&1 || \
	    { cat $(BUILD)/tidy.$$$$; exit 1; }' clang-tidy

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
	    $(DESTDIR)$(PREFIX)/include $(DESTDIR)$(PREFIX)/share/man/man1 \
	    $(DESTDIR)$(PREFIX)/share/man/man3 \
	    $(DESTDIR)$(PREFIX)/share/man/man5 \
	    $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 755 $(addprefix $(BUILD)/,$(PROGRAMS)) \
	    $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/*.h include/counters.def peer/frame.pb-c.h \
	    $(DESTDIR)$(PREFIX)/include
	for s in 1 3 5 8; do install -m 644 man/*.$$s \
	    $(DESTDIR)$(PREFIX)/share/man/man$$s; done
	sed 's|@PREFIX@|$(PREFIX)|; s|@VERSION@|0.1.0|' jacinthdyke.pc.in \
	    >$(DESTDIR)$(PREFIX)/lib/pkgconfig/jacinthdyke.pc

matrix: setup
	@$(MAKE) --no-print-directory -s all
	@bash regress/matrix.sh

# Fault soak: SOAK="SEED COUNT SECONDS NODES"; SOAK_PLAY=stops plays planned work.
SOAK ?= 1 50 20 8
soak: setup
	@$(MAKE) --no-print-directory -s tests
	@bash regress/soak/soak.sh $(SOAK)

mutants: setup
	@bash regress/mutants.sh

# Requires clang's runtime library (libclang-rt-14-dev).  Each of the fuzz
# targets runs for FUZZ_SECONDS.
FUZZ_SECONDS ?= 10
fuzz:
	@mkdir -p build-fuzz
	@for k in 1 2 3 4 5; do \
	    clang -g -O1 -fsanitize=fuzzer,address,undefined -DFUZZ_KIND=$$k \
	        $(TIDY_FLAGS) regress/fuzz/fuzz.c $(LIB_SRC) \
	        -o build-fuzz/fuzz$$k -lm $(shell pkg-config --libs $(PKGS)) && \
	    build-fuzz/fuzz$$k -max_total_time=$(FUZZ_SECONDS) \
	        -detect_leaks=0 -print_final_stats=1 2>&1 | \
	        grep -E 'ERROR|SUMMARY|executed_units' || exit 1; \
	done

bench: setup
	@$(MAKE) --no-print-directory -s all
	@bash load/bench.sh

clean:
	rm -rf $(BUILD)

.PHONY: all tests soak check matrix mutants fuzz lint install bench setup demo clean

ALL_SRC = $(LIB_SRC) $(BASE_SRC) $(NODE_SRC) $(CTL_SRC) $(LOAD_SRC) $(SCRIPT_SRC) $(SIM_SRC) $(UNIT_SRC) $(TEST_PROGRAM_SRC) log/logd.c \
          targets/targetd.c fault/faultd.c
-include $(patsubst %.c,$(BUILD)/%.d,$(ALL_SRC))
