#include "cli/ws_cli.h"

int main(int argc, char **argv)
{
	return ws_cli_main(argc, argv);
}
