#ifndef ADM_SIM_H
#define ADM_SIM_H

#include "core/ws_adm.h"
#include "seed_range.h"

/*
 * Several instances over a fake network that loses, delays and duplicates,
 * with joins, kills, pauses, cuts and partitions that change holder. Every
 * spent token is recorded with the true time.
 */

#define ADM_SIM_NODES 10
#define ADM_SIM_PARTITIONS 24
#define ADM_SIM_CUSTOMERS 2
#define ADM_SIM_MAX_SPENT 40000
#define ADM_SIM_MAX_MSGS 4096
#define ADM_SIM_MAX_VERSIONS 32

struct adm_sim_node {
	struct ws_adm *adm;
	ws_id id;
	ws_us skew; /* its clock minus the true time */
	ws_us paused_until;
	ws_us cut_until;
	ws_us fresh_until;
	ws_us next_tick;
	ws_us next_renewal;
	ws_us adopts_at;
	struct ws_view view;
};

struct adm_sim_part {
	int holder; /* -1: nobody */
	ws_offset fence;
	ws_us free_at; /* a new holder may be named */
};

struct adm_sim_packet {
	ws_us at;
	ws_id from;
	ws_id to;
	struct ws_msg msg;
};

/* A bundle, and the time in which any instance used it. */
struct adm_sim_version {
	struct ws_bundle bundle;
	struct ws_customer customers[ADM_SIM_CUSTOMERS];
	ws_us first;
	ws_us last;
};

/* One bucket for all, as the customer would expect it. */
struct adm_sim_global {
	int64_t level; /* 1/1,000,000 tokens */
	ws_us at;
};

struct adm_sim_stats {
	uint64_t events, spent, lost, duplicated, late, pauses, cuts, kills;
	uint64_t moves, versions, refused, wrongful;
};

struct adm_sim {
	uint64_t seed;
	struct ws_rand r;
	ws_us now;
	size_t n_nodes;
	struct adm_sim_node node[ADM_SIM_NODES];
	struct ws_instance inst[ADM_SIM_NODES];
	struct adm_sim_part part[ADM_SIM_PARTITIONS];
	struct adm_sim_version version[ADM_SIM_MAX_VERSIONS];
	size_t n_versions;
	struct adm_sim_packet packet[ADM_SIM_MAX_MSGS];
	size_t n_packets;
	ws_us spent[ADM_SIM_CUSTOMERS][ADM_SIM_MAX_SPENT];
	size_t n_spent[ADM_SIM_CUSTOMERS];
	struct adm_sim_global global[ADM_SIM_CUSTOMERS];
	bool tell_holders;
	unsigned faults; /* percent */
	uint64_t next_id;
	uint64_t open; /* requests without a result */
	struct adm_sim_stats *stats;
};

struct adm_sim *adm_sim_new(uint64_t seed, struct adm_sim_stats *stats,
			    size_t nodes, uint32_t rate, uint32_t burst);
void adm_sim_free(struct adm_sim *s);

/* One step of time with its arrivals; load and hot (node 0) in percent. */
void adm_sim_step(struct adm_sim *s, unsigned load, unsigned hot);

/* One random fault, new bundle or handed over partition. */
void adm_sim_fault(struct adm_sim *s);

#endif
