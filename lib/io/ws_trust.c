#include "io/ws_trust.h"

#include "codec/ws_codec.h"
#include "core/ws_bundle.h"
#include "io/ws_logline.h"

static int verify_record(struct ws_record *rec, struct ws_codec_error *why)
{
	if (rec->kind == WS_REC_RECOVER)
		return ws_codec_recover_open(rec, NULL, 0, why);
	if (rec->kind != WS_REC_BUNDLE && rec->kind != WS_REC_SNAPSHOT)
		return 0;
	if (!rec->bundle_text || rec->bundle)
		return 0;
	return ws_codec_envelope_open(rec->bundle_text, NULL, 0, &rec->bundle,
				      why);
}

void ws_trust_verify_records(struct ws_record *records, size_t n)
{
	struct ws_codec_error why = { "" };
	size_t i;
	int res;

	for (i = 0; i < n; i++) {
		res = verify_record(&records[i], &why);
		if (ws_is_error(res))
			ws_logline(WS_LOG_BAD_RECORD, records[i].writer,
				   (int64_t)records[i].offset, res, why.text);
	}
}
