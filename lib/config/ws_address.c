#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "config/ws_config.h"

static bool parse_port(const char *text, uint16_t *port)
{
	size_t n = strspn(text, "0123456789");
	long v;

	if (n < 1 || n > 5 || text[n])
		return false;
	v = strtol(text, NULL, 10);
	if (v < 1 || v > 65535)
		return false;
	*port = (uint16_t)v;
	return true;
}

static int parse_ipv4(const char *ip, uint16_t port,
		      struct sockaddr_storage *addr, socklen_t *len)
{
	struct sockaddr_in *in = (struct sockaddr_in *)addr;

	if (inet_pton(AF_INET, ip, &in->sin_addr) != 1)
		return WS_ERR_CONFIG;
	in->sin_family = AF_INET;
	in->sin_port = htons(port);
	*len = sizeof(*in);
	return 0;
}

static int parse_ipv6(char *ip, uint16_t port, struct sockaddr_storage *addr,
		      socklen_t *len)
{
	struct sockaddr_in6 *in = (struct sockaddr_in6 *)addr;
	size_t n = strlen(ip);

	if (n < 3 || ip[n - 1] != ']')
		return WS_ERR_CONFIG;
	ip[n - 1] = '\0';
	if (inet_pton(AF_INET6, ip + 1, &in->sin6_addr) != 1)
		return WS_ERR_CONFIG;
	in->sin6_family = AF_INET6;
	in->sin6_port = htons(port);
	*len = sizeof(*in);
	return 0;
}

int ws_config_address(const char *text, struct sockaddr_storage *addr,
		      socklen_t *len)
{
	const char *colon = strrchr(text, ':');
	char ip[64];
	uint16_t port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return WS_ERR_CONFIG;
	if (!parse_port(colon + 1, &port))
		return WS_ERR_CONFIG;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	memset(addr, 0, sizeof(*addr));
	if (ip[0] == '[')
		return parse_ipv6(ip, port, addr, len);
	return parse_ipv4(ip, port, addr, len);
}
