#include "edgeio/ws_eio_daemon.h"

int main(int argc, char **argv)
{
	return ws_eio_daemon_main(argc, argv);
}
