#include "codec/ws_codec.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

ws_id ws_codec_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

uint64_t ws_codec_hash(const void *data, size_t len)
{
	return XXH64(data, len, 0);
}

void ws_codec_bytes_to_words(const uint8_t bytes[32], uint64_t words[4])
{
	size_t i;

	memset(words, 0, 4 * sizeof(*words));
	for (i = 0; i < 32; i++)
		words[i / 8] = words[i / 8] << 8 | bytes[i];
}

void ws_codec_caller_key_hash(const char *key, uint64_t hash[4])
{
	uint8_t digest[32];

	crypto_generichash(digest, sizeof(digest), (const uint8_t *)key,
			   strlen(key), NULL, 0);
	ws_codec_bytes_to_words(digest, hash);
}

void ws_codec_hex(uint64_t value, char hex[17])
{
	snprintf(hex, 17, "%016llx", (unsigned long long)value);
}
