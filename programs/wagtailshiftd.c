#include "io/ws_daemon.h"

int main(int argc, char **argv)
{
	return ws_daemon_main(argc, argv);
}
