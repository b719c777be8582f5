#ifndef ADM_SIM_H
#define ADM_SIM_H

#include "core/ws_adm.h"
#include "seed_range.h"

/*
 * Simulates several instances over a network that loses, delays and duplicates
 * messages, with joins, kills, pauses, network cuts and partitions that change
 * holder. Every spent token is recorded with the simulated time.
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
	ws_us skew; /* its clock minus the simulated time */
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
	ws_us free_at; /* from then on a new holder may be assigned */
};

struct adm_sim_packet {
	ws_us at;
	ws_id from;
	ws_id to;
	struct ws_msg msg;
};

/* A bundle, and the period in which any instance used it. */
struct adm_sim_version {
	struct ws_bundle bundle;
	struct ws_customer customers[ADM_SIM_CUSTOMERS];
	ws_us first;
	ws_us last;
};

/* A single global bucket per customer, for comparison. */
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

/*
 * Advances the time by one step with its arrivals. load is in percent of the
 * rate, hot is the percentage of requests that go to node 0.
 */
void adm_sim_step(struct adm_sim *s, unsigned load, unsigned hot);

/* Causes one random fault, new bundle or release of a partition. */
void adm_sim_fault(struct adm_sim *s);

#endif
